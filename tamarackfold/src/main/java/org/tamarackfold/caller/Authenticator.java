package org.tamarackfold.caller;

import io.vavr.collection.Seq;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.tamarackfold.id.ApiKey;
import org.tamarackfold.operator.Customers;

/** Determines the identity of a caller from the values of its authorization headers. */
public final class Authenticator {
    private static final String SCHEME = "Bearer";

    private Authenticator() {}

    /**
     * Returns the identity of a caller. On a public route, a caller without a valid key is
     * anonymous instead of rejected.
     *
     * @param customers the customers of the release; none when it has no authentication
     * @param publicRoute whether the route of the call needs no key
     * @param headers the values of all authorization headers of the call
     */
    public static CallerIdentity identify(
            Option<Customers> customers, boolean publicRoute, Seq<String> headers) {
        if (customers.isEmpty()) {
            return new CallerIdentity.Anonymous();
        }
        CallerIdentity identity =
                keyOf(headers)
                        .<CallerIdentity>fold(
                                CallerIdentity.Rejected::new, key -> holder(customers.get(), key));
        return publicRoute && identity instanceof CallerIdentity.Rejected
                ? new CallerIdentity.Anonymous()
                : identity;
    }

    private static CallerIdentity holder(Customers customers, String key) {
        return Option.when(ApiKey.isValid(key), () -> new ApiKey(key))
                .flatMap(customers::byKey)
                .<CallerIdentity>map(customer -> new CallerIdentity.OfCustomer(customer.name()))
                .getOrElse(() -> new CallerIdentity.Rejected(CallerIdentity.Cause.UNKNOWN_KEY));
    }

    /** Returns the key of the only header, whose length is checked before anything else is read. */
    private static Either<CallerIdentity.Cause, String> keyOf(Seq<String> headers) {
        if (headers.isEmpty()) {
            return Either.left(CallerIdentity.Cause.NO_KEY);
        }
        if (headers.size() > 1) {
            return Either.left(CallerIdentity.Cause.SEVERAL_HEADERS);
        }
        String header = headers.head();
        if (!header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return Either.left(CallerIdentity.Cause.NO_KEY);
        }
        String key = withoutSpaces(header.substring(SCHEME.length()));
        if (key.length() > ApiKey.MAXIMUM_LENGTH) {
            return Either.left(CallerIdentity.Cause.KEY_TOO_LONG);
        }
        if (header.chars().anyMatch(Character::isISOControl)) {
            return Either.left(CallerIdentity.Cause.CONTROL_CHARACTERS);
        }
        boolean separated = header.startsWith(" ", SCHEME.length());
        return key.isEmpty() || !separated
                ? Either.left(CallerIdentity.Cause.NO_KEY)
                : Either.right(key);
    }

    /** Removes spaces around a key; other white space is part of it and makes it invalid. */
    private static String withoutSpaces(String text) {
        int start = 0;
        int end = text.length();
        while (start < end && text.charAt(start) == ' ') {
            start++;
        }
        while (end > start && text.charAt(end - 1) == ' ') {
            end--;
        }
        return text.substring(start, end);
    }
}

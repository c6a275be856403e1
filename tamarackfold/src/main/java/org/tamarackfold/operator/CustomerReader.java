package org.tamarackfold.operator;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.vavr.control.Try;
import org.tamarackfold.id.ApiKey;
import org.tamarackfold.id.CustomerName;

/**
 * Reads the customers of a release and checks each field. Errors name the customer and the field,
 * but quote no value: any of them may be a key that was put into the wrong field.
 */
public final class CustomerReader {
    /** Larger numbers are errors of the operator. */
    private static final double MAXIMUM = 1e9;

    private final CustomerFieldNames names;

    /** Creates a reader for a format of releases. */
    public CustomerReader(CustomerFieldNames names) {
        this.names = names;
    }

    /**
     * Returns the customers; none when the release has no authentication.
     *
     * @throws IllegalArgumentException when a field is malformed, or a name or key is used twice
     */
    public Option<Customers> read(DocumentValue customers) {
        return switch (customers) {
            case DocumentValue.Absent() -> Option.none();
            case DocumentValue.Sequence(Seq<DocumentValue> elements) ->
                    Option.some(new Customers(elements.zipWithIndex(this::customer)));
            default -> throw new IllegalArgumentException(names.customers() + " is not a list");
        };
    }

    private Customer customer(DocumentValue value, int index) {
        String position = "customer number " + (index + 1);
        if (!(value instanceof DocumentValue.Table table)) {
            throw new IllegalArgumentException(position + " is not a table of fields");
        }
        CustomerName name = name(position, table.field(names.name()));
        String customer = "customer " + name;
        String rateField = names.callsPerSecond();
        Option<Double> rate =
                number(customer, rateField, table.field(rateField)).filter(stated -> stated > 0);
        Option<Double> burst = number(customer, names.burst(), table.field(names.burst()));
        return Customer.builder()
                .name(name)
                .keys(keys(customer, table.field(names.keys())))
                .priority(priority(customer, table.field(names.priority())))
                .limit(rate.map(stated -> new CallLimit(stated, burst.getOrElse(0.0))))
                .hasBurstWithoutRate(rate.isEmpty() && burst.exists(stated -> stated > 0))
                .build();
    }

    private CustomerName name(String position, DocumentValue value) {
        return switch (value) {
            case DocumentValue.Absent() -> throw error(position, names.name(), "is missing");
            case DocumentValue.Text(String text) ->
                    Try.of(() -> new CustomerName(text))
                            .getOrElseThrow(
                                    () ->
                                            error(
                                                    position,
                                                    names.name(),
                                                    "is not 1 to 128 ASCII letters, digits, dots,"
                                                            + " underscores, colons and hyphens"));
            default -> throw error(position, names.name(), "is not a string");
        };
    }

    private Seq<ApiKey> keys(String customer, DocumentValue value) {
        return switch (value) {
            case DocumentValue.Absent() -> Vector.empty();
            case DocumentValue.Sequence(Seq<DocumentValue> elements) ->
                    elements.zipWithIndex((element, index) -> key(customer, element, index));
            default -> throw error(customer, names.keys(), "is not a list");
        };
    }

    private ApiKey key(String customer, DocumentValue value, int index) {
        if (value instanceof DocumentValue.Text(String text) && ApiKey.isValid(text)) {
            return new ApiKey(text);
        }
        throw error(
                customer,
                names.keys() + " number " + (index + 1),
                "is not a string of 1 to " + ApiKey.MAXIMUM_LENGTH + " visible ASCII characters");
    }

    private Option<Integer> priority(String customer, DocumentValue value) {
        Option<Double> number = number(customer, names.priority(), value);
        if (number.exists(priority -> priority != Math.rint(priority))) {
            throw error(customer, names.priority(), "is not a whole number");
        }
        return number.map(Double::intValue);
    }

    private Option<Double> number(String customer, String field, DocumentValue value) {
        return switch (value) {
            case DocumentValue.Absent() -> Option.none();
            case DocumentValue.Numeric(double number) when number >= 0 && number <= MAXIMUM ->
                    Option.some(number);
            case DocumentValue.Numeric(double _) ->
                    throw error(customer, field, "is negative, not finite or above 1,000,000,000");
            default -> throw error(customer, field, "is not a number");
        };
    }

    private static IllegalArgumentException error(String customer, String field, String problem) {
        return new IllegalArgumentException(customer + ": " + field + " " + problem);
    }
}

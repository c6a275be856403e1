package org.tamarackfold.operator.check;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.tamarackfold.operator.CallLimit;
import org.tamarackfold.operator.Customer;

/** Finds customers that cannot call, or whose limits contradict each other. */
final class CustomerCheck {
    private CustomerCheck() {}

    static Vector<Finding> findings(Seq<Customer> customers) {
        return customers.toVector().flatMap(CustomerCheck::findings);
    }

    private static Seq<Finding> findings(Customer customer) {
        int repeated = customer.keys().size() - customer.keys().distinct().size();
        return Vector.of(
                        Option.when(
                                customer.keys().isEmpty(),
                                "keys: it has none, so that it cannot call"),
                        Option.when(repeated > 0, "keys: " + repeated + " repeated"),
                        Option.when(
                                customer.hasBurstWithoutRate(),
                                "burst: has no effect without a rate of calls"),
                        customer.limit()
                                .filter(limit -> limit.burst() < 1)
                                .map(CustomerCheck::burstBelowOne))
                .flatMap(problem -> problem)
                .map(problem -> Finding.warning("customer " + customer.name(), problem));
    }

    private static String burstBelowOne(CallLimit limit) {
        return "burst: "
                + limit.burst()
                + " admits no whole call, although the rate is "
                + limit.callsPerSecond()
                + " calls a second";
    }
}

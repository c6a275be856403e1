package org.tamarackfold.daemon.soak.runtime;

import io.vavr.collection.Vector;
import org.tamarackfold.daemon.soak.Customer;
import org.tamarackfold.daemon.soak.Demand;
import org.tamarackfold.id.CustomerName;

/** A load beside the callers that each run has. */
public enum SoakLoad {
    /**
     * A customer that sends 8 times its limit, and one without a limit whose calls need more slots
     * than the endpoints have, beside customers of few callers each.
     */
    FLOODS,

    /** Callers that read streams and responses of 4 MB slowly, and send bodies of 4 MB. */
    SLOW_READERS,

    /** Endpoints of different speeds, which are slowed at times; placement is learned. */
    SPEEDS;

    /** The calls a second and the burst of a customer that stays far below its limit. */
    private static final double AMPLE_RATE = 60;

    /** With fewer, a starved customer makes too few calls in a window for a comparison. */
    private static final int SMALL_CALLERS = 3;

    private static final double LIMITED_RATE = 5;

    /** The callers of a customer. */
    record Callers(Customer customer, int count) {}

    /** Returns the customers that this load adds. */
    Vector<Callers> callers() {
        return switch (this) {
            case FLOODS ->
                    Vector.of(
                            // 8 callers at 5 calls a second each: 8 times the limit.
                            new Callers(
                                    customer(
                                            "customer-d",
                                            LIMITED_RATE,
                                            LIMITED_RATE,
                                            new Demand.Flood(200, 0)),
                                    8),
                            // The 30 calls in progress need more than the 24 slots of the three
                            // endpoints.
                            new Callers(
                                    customer("customer-e", 0, 0, new Demand.Flood(400, 400)), 30),
                            small("customer-f"),
                            small("customer-g"),
                            small("customer-h"));
            case SLOW_READERS ->
                    Vector.of(
                            new Callers(
                                    customer(
                                            "customer-s",
                                            AMPLE_RATE,
                                            AMPLE_RATE,
                                            new Demand.SlowReading()),
                                    6));
            case SPEEDS -> Vector.empty();
        };
    }

    private static Callers small(String name) {
        return new Callers(
                customer(name, AMPLE_RATE, AMPLE_RATE, new Demand.Steady()), SMALL_CALLERS);
    }

    private static Customer customer(String name, double rate, double burst, Demand demand) {
        return new Customer(new CustomerName(name), rate, burst, demand);
    }
}

package org.tamarackfold.endpoint.share;

import io.vavr.collection.Vector;
import java.util.Map;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.operator.Customer;
import org.tamarackfold.operator.Customers;

/**
 * Divides the capacity of a service among customers by weighted max-min fairness: a customer that
 * demands less than its share gets what it demands, and the rest is divided among the others.
 */
final class FairShares {
    /** Customers that a reply names. */
    private static final int MAXIMUM_OVER_SHARE = 16;

    private FairShares() {}

    private record Demand(CustomerName customer, double work, double weight) {
        double perWeight() {
            return work / weight;
        }
    }

    /**
     * Returns the customers over their share, those with the largest ratio first. Work of customers
     * that the release does not define is ignored.
     *
     * @param work the work in flight of each customer
     * @param smallerWork work of customers that are not named; it is within their shares
     * @param servedPart the part of all work for which the service has slots
     */
    static Vector<OverShare> overShare(
            Map<CustomerName, Double> work,
            double smallerWork,
            Customers customers,
            double servedPart) {
        Vector<Demand> ascending =
                Vector.ofAll(work.entrySet())
                        .filter(entry -> entry.getValue() > 0)
                        .flatMap(
                                entry ->
                                        customers
                                                .byName(entry.getKey())
                                                .map(known -> demand(known, entry.getValue())))
                        .sortBy(Demand::perWeight);
        if (ascending.isEmpty()) {
            return Vector.empty();
        }
        double total = ascending.map(Demand::work).sum().doubleValue() + smallerWork;
        double capacity = Math.max(0, total * servedPart - smallerWork);
        double sharePerWeight = sharePerWeight(ascending, capacity);
        return ascending
                .map(
                        demand ->
                                new OverShare(
                                        demand.customer(), demand.perWeight() / sharePerWeight))
                .filter(over -> over.ratio() > OverShare.MINIMUM_RATIO)
                .reverse()
                .take(MAXIMUM_OVER_SHARE);
    }

    private static Demand demand(Customer customer, double work) {
        return new Demand(customer.name(), work, weight(customer));
    }

    private static double weight(Customer customer) {
        int priority = customer.priority().getOrElse(Integer.MAX_VALUE);
        return switch (Math.max(0, priority)) {
            case 0 -> 4;
            case 1 -> 2;
            default -> 1;
        };
    }

    /**
     * Returns the share of a customer of weight 1. It is at least what the median customer demands:
     * waiting makes the work in flight of all customers grow, and if most exceed what the slots
     * hold, it is not one of them that causes the shortage.
     */
    private static double sharePerWeight(Vector<Demand> ascending, double capacity) {
        double median = ascending.get((ascending.size() - 1) / 2).perWeight();
        return Math.max(median, waterLevel(ascending, capacity));
    }

    private static double waterLevel(Vector<Demand> ascending, double capacity) {
        double remaining = capacity;
        double weights = ascending.map(Demand::weight).sum().doubleValue();
        double level = 0;
        for (Demand demand : ascending) {
            level = remaining / weights;
            if (demand.perWeight() > level) {
                return level;
            }
            remaining -= demand.work();
            weights -= demand.weight();
        }
        return Math.max(level, ascending.last().perWeight());
    }
}

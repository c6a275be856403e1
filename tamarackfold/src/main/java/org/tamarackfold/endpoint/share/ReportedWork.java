package org.tamarackfold.endpoint.share;

import io.vavr.collection.Vector;
import java.util.Map;
import org.tamarackfold.id.CustomerName;

/**
 * The work that customers have in flight at one host, in a report of load.
 *
 * @param customers the customers with the most work
 * @param smallerMillis the expected remaining work of all other customers, at speed 1
 */
public record ReportedWork(Vector<CustomerWork> customers, double smallerMillis) {
    /** The work of a host that reports no customers. */
    public static final ReportedWork NONE = new ReportedWork(Vector.empty(), 0);

    /** Customers that a report names. */
    static final int MAXIMUM_CUSTOMERS = 32;

    /** Returns what a host reports whose customers have the given remaining work. */
    public static ReportedWork of(Map<CustomerName, Double> remainingMillis) {
        Vector<CustomerWork> largestFirst =
                Vector.ofAll(remainingMillis.entrySet())
                        .map(entry -> new CustomerWork(entry.getKey(), entry.getValue()))
                        .sortBy(work -> -work.remainingMillis());
        double smaller =
                largestFirst
                        .drop(MAXIMUM_CUSTOMERS)
                        .map(CustomerWork::remainingMillis)
                        .sum()
                        .doubleValue();
        return new ReportedWork(largestFirst.take(MAXIMUM_CUSTOMERS), smaller);
    }
}

package org.tamarackfold.operator;

import io.vavr.collection.Seq;
import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import org.tamarackfold.id.ApiKey;
import org.tamarackfold.id.CustomerName;

/** The customers of a release, found by key or by name in constant time. Immutable. */
public final class Customers {
    private final Seq<Customer> all;
    private final Map<ApiKey, Customer> byKey = new HashMap<>();
    private final Map<CustomerName, Customer> byName = new HashMap<>();

    /**
     * Creates the index.
     *
     * @throws IllegalArgumentException when two customers have the same name or hold the same key;
     *     the message names the customers, but no key
     */
    public Customers(Seq<Customer> customers) {
        all = customers;
        customers.forEach(this::add);
    }

    private void add(Customer customer) {
        if (byName.put(customer.name(), customer) != null) {
            throw new IllegalArgumentException(
                    "customer " + customer.name() + ": the name is used twice");
        }
        for (ApiKey key : customer.keys()) {
            Customer other = byKey.put(key, customer);
            if (other != null && other != customer) {
                throw new IllegalArgumentException(
                        "customer "
                                + customer.name()
                                + ": a key is held by "
                                + other.name()
                                + ", too");
            }
        }
    }

    /** Returns all customers in the order of the release. */
    public Seq<Customer> all() {
        return all;
    }

    /** Returns the customer that holds a key. */
    public Option<Customer> byKey(ApiKey key) {
        return Option.of(byKey.get(key));
    }

    /** Returns the customer of a name. */
    public Option<Customer> byName(CustomerName name) {
        return Option.of(byName.get(name));
    }

    /** Returns the number of customers. */
    public int size() {
        return byName.size();
    }
}

package org.tamarackfold.operator;

/**
 * Names of the fields that define customers in a format of releases.
 *
 * @param customers the list of customers
 * @param name the name of a customer
 * @param keys the list of its keys
 * @param priority its priority
 * @param callsPerSecond the sustained rate of its limit
 * @param burst the burst of its limit
 */
public record CustomerFieldNames(
        String customers,
        String name,
        String keys,
        String priority,
        String callsPerSecond,
        String burst) {}

package org.tamarackfold.settings;

import java.time.Duration;
import org.tamarackfold.id.Address;

/**
 * How to use the key-value service.
 *
 * @param address its address
 * @param minimumLease the shortest lease that it grants
 */
public record KeyValueSettings(Address address, Duration minimumLease) {}

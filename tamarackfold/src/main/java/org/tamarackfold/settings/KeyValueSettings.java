package org.tamarackfold.settings;

import java.time.Duration;
import org.tamarackfold.id.Address;

/**
 * Connection settings of the key-value service.
 *
 * @param address where the service accepts requests
 * @param minimumLeaseDuration the shortest lease that the service grants
 */
public record KeyValueSettings(Address address, Duration minimumLeaseDuration) {}

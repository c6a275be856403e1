package org.tamarackfold.endpoint.share;

import org.tamarackfold.id.ServiceName;

/** Tells the capacity of services. Thread-safe; called without locks of the loads held. */
@FunctionalInterface
public interface CapacityView {
    /** Returns the present capacity of a service. */
    ServiceCapacity of(ServiceName service);
}

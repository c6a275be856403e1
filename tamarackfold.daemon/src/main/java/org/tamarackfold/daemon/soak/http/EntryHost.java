package org.tamarackfold.daemon.soak.http;

import org.tamarackfold.id.Address;
import org.tamarackfold.id.HostId;

/**
 * An entry host as callers see it.
 *
 * @param callers the address that directories name
 * @param proxy the proxy in front of it
 * @param directory the address of its directory
 */
public record EntryHost(HostId id, Address callers, LoopbackProxy proxy, Address directory) {}

/** Callers, endpoints and the proxy of the fault soak. */
package org.tamarackfold.daemon.soak.http;

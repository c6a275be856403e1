/** Ports to the key-value service, the host list and the weight store of the platform. */
package org.tamarackfold.platform;

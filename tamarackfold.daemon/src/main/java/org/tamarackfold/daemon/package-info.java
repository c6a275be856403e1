/** Main classes of the host daemon and of its class archive build. */
package org.tamarackfold.daemon;

/** Time and timers, so that decisions can be driven by another clock. */
package org.tamarackfold.time;

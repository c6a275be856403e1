/**
 * Clock and timers as an interface, so that decisions can be driven by another clock, for example
 * by the clock of another front end or the virtual time of a test.
 */
package org.tamarackfold.time;

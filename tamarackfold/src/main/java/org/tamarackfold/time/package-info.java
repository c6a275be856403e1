/** Clock and timers as an interface, so that tests can control time. */
package org.tamarackfold.time;

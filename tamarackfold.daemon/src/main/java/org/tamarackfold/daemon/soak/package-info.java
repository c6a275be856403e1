/** Rules of the fault soak: what callers and endpoints must see, and when a fault excuses it. */
package org.tamarackfold.daemon.soak;

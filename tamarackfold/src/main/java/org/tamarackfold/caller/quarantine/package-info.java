/**
 * Requests that crash endpoints: how they are recognized, what is evidence against them, how they
 * are tried while they are suspected, and how entry hosts tell each other. Decides without I/O.
 */
package org.tamarackfold.caller.quarantine;

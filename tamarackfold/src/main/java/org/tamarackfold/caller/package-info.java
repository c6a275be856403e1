/** Decisions about programs and calls. Lock rank: PROGRAMS. */
package org.tamarackfold.caller;

/** Structured logging: one line of key-value pairs for each decision; never blocks the caller. */
package org.tamarackfold.log;

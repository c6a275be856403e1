/** Structured log lines: one line for each decision, as key and value pairs, never blocking. */
package org.tamarackfold.log;

/** Scheduler for agent programs. */
package org.tamarackfold;

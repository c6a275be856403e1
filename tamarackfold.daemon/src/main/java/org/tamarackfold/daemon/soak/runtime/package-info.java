/** Processes, signals and the schedule of the fault soak. */
package org.tamarackfold.daemon.soak.runtime;

/** Counters and histograms of a process, in the Prometheus text format. */
package org.tamarackfold.metrics;

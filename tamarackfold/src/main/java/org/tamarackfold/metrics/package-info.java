/** Counters and histograms of a host process, exposed in the Prometheus text format. */
package org.tamarackfold.metrics;

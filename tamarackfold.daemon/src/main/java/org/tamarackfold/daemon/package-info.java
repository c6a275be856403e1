/** Main classes of the host daemon and of the training run for its CDS archive. */
package org.tamarackfold.daemon;

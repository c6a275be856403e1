/** Programs of the daemon module. */
package org.tamarackfold.daemon;

/** In-memory and simulated replacements of external systems, for tests and the demo. */
package org.tamarackfold.standin;

/** Failures that carry the step and the party at which they arose. */
package org.tamarackfold.errors;

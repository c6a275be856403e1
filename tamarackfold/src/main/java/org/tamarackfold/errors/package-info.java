/** Failures of calls: cause, operation, called party, and whether the call may have run. */
package org.tamarackfold.errors;

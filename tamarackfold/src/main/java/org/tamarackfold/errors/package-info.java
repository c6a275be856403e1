/** Failures of calls: cause, operation, failed component, and whether the call may have run. */
package org.tamarackfold.errors;

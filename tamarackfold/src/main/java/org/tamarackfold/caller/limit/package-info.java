/**
 * Limits of customers, counted over all hosts: which host owns a limit, what it grants, and what
 * each host holds. No class here performs I/O; messages pass through {@link
 * org.tamarackfold.caller.limit.PermitChannel}.
 */
package org.tamarackfold.caller.limit;

/** Checks release files and formats the result. */
package org.tamarackfold.operator.check.runtime;

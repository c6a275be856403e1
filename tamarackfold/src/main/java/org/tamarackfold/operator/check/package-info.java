/** Checks of a release before it is put in force, and comparison with the version in force. */
package org.tamarackfold.operator.check;

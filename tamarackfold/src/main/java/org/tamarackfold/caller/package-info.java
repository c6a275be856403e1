/** Callers: their calls, and the decisions on them. Encoding is in the http subpackage. */
package org.tamarackfold.caller;

/**
 * Calls from callers, independent of their encoding: metadata, retry decisions and the responses
 * that an entry host generates itself. The HTTP encoding is in the http subpackage.
 */
package org.tamarackfold.caller;

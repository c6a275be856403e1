/**
 * Selection of the entry hosts that callers connect to, and their shares of rate limits. Subpackage
 * runtime assembles hosts.
 */
package org.tamarackfold.node;

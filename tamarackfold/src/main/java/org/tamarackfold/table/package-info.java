/** Locks of the shared tables and the order in which they are acquired. */
package org.tamarackfold.table;

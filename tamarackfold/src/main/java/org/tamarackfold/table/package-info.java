/** Locks of the shared tables and their order. */
package org.tamarackfold.table;

/** Assembles the components of a host: listeners, clients, tables and timers. */
package org.tamarackfold.node.runtime;

/** One node: events in, actions out. */
package org.tamarackfold.node;

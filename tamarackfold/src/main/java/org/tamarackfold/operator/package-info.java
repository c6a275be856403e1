/** The release: a versioned configuration of routes, services and limits set by operators. */
package org.tamarackfold.operator;

/** Value types for identifiers, so that different kinds of ids cannot be confused. */
package org.tamarackfold.id;

/** Value types for identifiers. */
package org.tamarackfold.id;

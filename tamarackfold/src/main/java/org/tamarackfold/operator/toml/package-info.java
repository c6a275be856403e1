/** The product's own release format in TOML. */
package org.tamarackfold.operator.toml;

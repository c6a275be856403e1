/** Reads and validates settings files in TOML. */
package org.tamarackfold.settings.toml;

/** Settings files in TOML. */
package org.tamarackfold.settings.toml;

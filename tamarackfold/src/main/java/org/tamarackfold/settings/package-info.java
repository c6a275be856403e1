/** The settings of a host process. Subpackage toml reads them from a file. */
package org.tamarackfold.settings;

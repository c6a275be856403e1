/** The settings of a process. Reading them from TOML is in the toml subpackage. */
package org.tamarackfold.settings;

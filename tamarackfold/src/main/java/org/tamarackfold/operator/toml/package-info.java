/** Reader for releases in the TOML format of tamarackfold. */
package org.tamarackfold.operator.toml;

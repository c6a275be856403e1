/** Port through which a platform's names, formats and calls are translated. */
package org.tamarackfold.adapter;

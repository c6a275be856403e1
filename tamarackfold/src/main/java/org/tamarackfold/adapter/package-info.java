/** Interface to the platform, which defines key names, data formats and HTTP paths. */
package org.tamarackfold.adapter;

/** Release notes and the release in force. Lock rank: RELEASE. */
package org.tamarackfold.operator;

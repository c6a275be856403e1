/** The release that operators publish: routes, services and limits in force. */
package org.tamarackfold.operator;

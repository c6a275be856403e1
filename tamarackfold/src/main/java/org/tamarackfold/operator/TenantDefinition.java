package org.tamarackfold.operator;

import org.tamarackfold.id.TenantId;

/**
 * A tenant as the release defines it.
 *
 * @param tenant the tenant
 * @param serviceClass the class its calls belong to, such as {@code interactive}
 * @param programBudgetTokens the most that one program may spend, in tokens
 * @param weight its share of a contended endpoint relative to other tenants
 */
public record TenantDefinition(
        TenantId tenant, String serviceClass, long programBudgetTokens, int weight) {}
